/// Captures the standard output of a process under test, such as log lines.
#pragma once

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

namespace daisytack::test {

/// Captures the standard output of the process during its lifetime.
class StdoutCapture {
public:
  StdoutCapture() : File(std::tmpfile()), SavedStdout(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    ::dup2(::fileno(File), STDOUT_FILENO);
  }
  ~StdoutCapture() {
    std::fflush(stdout);
    ::dup2(SavedStdout, STDOUT_FILENO);
    ::close(SavedStdout);
    std::fclose(File);
  }
  StdoutCapture(const StdoutCapture &) = delete;
  StdoutCapture &operator=(const StdoutCapture &) = delete;

  /// The first line that contains all of the texts; empty if there is none.
  std::string findLine(const std::vector<std::string> &texts) const {
    std::istringstream lines(text());
    for (std::string line; std::getline(lines, line);)
      if (std::all_of(texts.begin(), texts.end(), [&](const auto &it) {
            return line.find(it) != std::string::npos;
          }))
        return line;
    return {};
  }

  /// Number of lines that contain all of the texts.
  size_t countLines(const std::vector<std::string> &texts) const {
    std::istringstream lines(text());
    size_t out = 0;
    for (std::string line; std::getline(lines, line);)
      out += std::all_of(texts.begin(), texts.end(), [&](const auto &it) {
        return line.find(it) != std::string::npos;
      });
    return out;
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
  int SavedStdout;
};

} // namespace daisytack::test
