/// Runs every fuzz target on its corpus, on truncations of each corpus input
/// and on a fixed number of mutated copies. The inputs are the same in each
/// run. Does not need libFuzzer.
#include "targets.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace {

using daisytack::fuzz::Target;

constexpr size_t MaxTruncations = 300;
constexpr size_t MutatedCopies = 4000;
constexpr size_t MaxMutations = 6;

std::vector<std::string> readCorpus(const std::filesystem::path &directory) {
  std::vector<std::filesystem::path> files;
  if (std::filesystem::is_directory(directory))
    for (const auto &it : std::filesystem::directory_iterator(directory))
      files.push_back(it.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> out;
  for (const auto &it : files) {
    std::ifstream in(it, std::ios::binary);
    out.emplace_back(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
  }
  return out;
}

std::string mutate(std::string bytes, std::mt19937_64 &random) {
  size_t mutations = 1 + random() % MaxMutations;
  for (size_t i = 0; i < mutations && !bytes.empty(); ++i) {
    size_t at = random() % bytes.size();
    switch (random() % 4) {
    case 0:
      bytes[at] = static_cast<char>(random());
      break;
    case 1:
      bytes.insert(at, 1, static_cast<char>(random()));
      break;
    case 2:
      bytes.erase(at, 1 + random() % 8);
      break;
    default:
      bytes.insert(at, bytes.substr(random() % bytes.size(), 16));
    }
  }
  return bytes;
}

size_t replay(const Target &target, const std::vector<std::string> &corpus) {
  std::mt19937_64 random(20261202);
  size_t runs = 0;
  auto run = [&](std::string_view bytes) {
    target.Run(bytes);
    ++runs;
  };
  run("");
  for (const std::string &it : corpus) {
    size_t step = 1 + it.size() / MaxTruncations;
    for (size_t n = 0; n <= it.size(); n += step)
      run(std::string_view(it).substr(0, n));
    run(it);
    for (size_t i = 0; i < MutatedCopies; ++i)
      run(mutate(it, random));
  }
  return runs;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: fuzz_replay CORPUS_DIRECTORY\n");
    return 2;
  }
  std::filesystem::path root(argv[1]);
  for (const Target &it : daisytack::fuzz::targets()) {
    std::vector<std::string> corpus = it.BinarySeeds();
    std::vector<std::string> files = readCorpus(root / it.Name);
    std::move(files.begin(), files.end(), std::back_inserter(corpus));
    if (corpus.empty()) {
      std::fprintf(stderr, "%s has no corpus\n", it.Name.data());
      return 1;
    }
    size_t runs = replay(it, corpus);
    std::printf("%-14s %3zu inputs, %6zu runs\n", it.Name.data(), corpus.size(),
                runs);
  }
  return 0;
}
