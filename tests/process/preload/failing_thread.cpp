// Preloaded into an entry by terminate_test.py: after SIGUSR1 a thread throws
// an exception that nothing catches, after SIGUSR2 it allocates more memory
// than a process can have.
#include <csignal>
#include <cstdint>
#include <ctime>
#include <new>
#include <stdexcept>
#include <thread>

namespace {

constexpr timespec PollInterval{0, 10'000'000};
volatile std::sig_atomic_t Signal = 0;

void noteSignal(int number) { Signal = number; }

void waitAndFail() {
  while (Signal == 0)
    nanosleep(&PollInterval, nullptr);
  if (Signal == SIGUSR1)
    throw std::out_of_range("planted\nfault");
  ::operator delete(::operator new(SIZE_MAX / 4));
}

__attribute__((constructor)) void startThread() {
  std::signal(SIGUSR1, noteSignal);
  std::signal(SIGUSR2, noteSignal);
  std::thread(waitAndFail).detach();
}

} // namespace
