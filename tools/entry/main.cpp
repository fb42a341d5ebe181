// daisytack-entry: callers' HTTP on one side, agents on the other.
#include "entry_shell.h"
#include "runtime/process.h"

using namespace daisytack;

int main(int argc, char **argv) {
  entry::EntryOptions options;
  std::unique_ptr<entry::EntryShell> shell;
  runtime::ProcessInit init;
  init.Name = "daisytack-entry";
  init.Summary = "Takes callers' requests and has them run by backend servers.";
  init.ReadSettings = [&](Settings &settings) {
    options = entry::readEntryOptions(settings);
  };
  init.Start = [&](boost::asio::io_context &io, Error &reason) {
    shell = std::make_unique<entry::EntryShell>(io, options);
    return shell->start(reason);
  };
  init.Drain = [&](std::function<void()> done) {
    shell->drain(std::move(done));
  };
  init.Stop = [&] { shell.reset(); };
  return runtime::runProcess(argc, argv, init);
}
