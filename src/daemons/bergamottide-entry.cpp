/*!
 * @file
 * @brief Entry daemon: accepts requests and runs their stages on endpoints.
 */
#include "bergamottide/app/entryapp.h"
#include "bergamottide/app/signalwatch.h"
#include "bergamottide/app/startup.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "YAML file with the settings of the process");
DEFINE_string(set, "", "Settings that override those of the file: name=value,...");
DEFINE_bool(check, false, "Check the settings and exit");

using namespace bergamottide;

namespace {

int run(const Settings &settings)
{
    auto keys = readTicketKeys(settings.ticketKeyFiles);
    if (!keys.ok()) {
        std::cerr << keys.status().message() << "\n";
        return 1;
    }
    if (FLAGS_check) {
        return 0;
    }
    const SystemClock clock;
    Loop loop{clock};
    EntryApp app{loop, clock, settings, *std::move(keys), randomIncarnation()};
    const SignalWatch signals{loop, [&app] { app.drain("SIGTERM"); },
                              [&app] {
                                  app.reloadTls();
                              }};
    const absl::Status status = app.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    printAddresses(settings,
                   {{"callers", app.callersAddress()}, {"admin", app.adminAddress()}, {"address", app.peersAddress()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    blockSignals();
    returnFreedMemory();
    gflags::SetUsageMessage("accepts callers' requests and runs their stages on endpoints");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings(FLAGS_settings, FLAGS_set, Role::Entry);
    return settings ? run(*settings) : 1;
}
