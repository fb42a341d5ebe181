// Preloaded into an entry by stop_test.py: threads that a library starts while
// the program is being loaded never run, as on a platform that never wakes
// them.
#include <dlfcn.h>
#include <pthread.h>
#include <unistd.h>

namespace {

bool IsLoaded = false; ///< Written before any thread of the program starts.

void *waitForever(void *) {
  for (;;)
    pause();
}

template <class Function> Function *nextSymbol(const char *name) {
  return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

using Main = int(int, char **, char **);
using StartMain = int(Main *, int, char **, void (*)(), void (*)(), void (*)(),
                      void *);
using CreateThread = int(pthread_t *, const pthread_attr_t *, void *(*)(void *),
                         void *);

} // namespace

extern "C" {

/// Called by the program's start code after all libraries have been loaded.
int __libc_start_main(Main *main, int argc, char **argv, void (*init)(),
                      void (*fini)(), void (*unload)(), void *stackEnd) {
  IsLoaded = true;
  return nextSymbol<StartMain>("__libc_start_main")(main, argc, argv, init,
                                                    fini, unload, stackEnd);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes,
                   void *(*run)(void *), void *argument) {
  static auto *create = nextSymbol<CreateThread>("pthread_create");
  return create(thread, attributes, IsLoaded ? run : waitForever, argument);
}
}
