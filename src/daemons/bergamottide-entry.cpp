/*!
 * @file
 * @brief Daemon of an entry.
 */
#include "bergamottide/app/entryapp.h"
#include "bergamottide/app/signalwatch.h"
#include "bergamottide/app/startup.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "YAML file with the settings of the process");
DEFINE_string(set, "", "Settings that replace those of the file: name=value,...");
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
    EntryApp app{loop, clock, settings, *std::move(keys), drawIncarnation()};
    const SignalWatch signals{loop, [&app] { app.drain("SIGTERM"); },
                              [&app] {
                                  app.reload();
                              }};
    const absl::Status status = app.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    announce(settings,
             {{"callers", app.callersAddress()}, {"admin", app.adminAddress()}, {"address", app.peersAddress()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    blockSignals();
    gflags::SetUsageMessage("takes callers' requests and drives them through their stages");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings(FLAGS_settings, FLAGS_set, Role::Entry);
    return settings ? run(*settings) : 1;
}
