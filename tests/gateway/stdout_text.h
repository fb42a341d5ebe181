/// What a process under test writes to standard output, such as log lines.
#pragma once

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

namespace daisytack::test {

/// What the process writes to standard output while this lives.
class StdoutText {
public:
  StdoutText() : File(std::tmpfile()), Before(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    ::dup2(::fileno(File), STDOUT_FILENO);
  }
  ~StdoutText() {
    std::fflush(stdout);
    ::dup2(Before, STDOUT_FILENO);
    ::close(Before);
    std::fclose(File);
  }
  StdoutText(const StdoutText &) = delete;
  StdoutText &operator=(const StdoutText &) = delete;

  /// The line with all of the texts; empty while there is none.
  std::string lineWith(const std::vector<std::string> &texts) const {
    std::istringstream lines(text());
    for (std::string line; std::getline(lines, line);)
      if (std::all_of(texts.begin(), texts.end(), [&](const auto &it) {
            return line.find(it) != std::string::npos;
          }))
        return line;
    return {};
  }

private:
  std::string text() const {
    std::string out;
    char buf[4096];
    off_t at = 0;
    for (ssize_t n = 0; (n = ::pread(::fileno(File), buf, sizeof(buf), at)) > 0;
         at += n)
      out.append(buf, static_cast<size_t>(n));
    return out;
  }

  std::FILE *File;
  int Before;
};

} // namespace daisytack::test
