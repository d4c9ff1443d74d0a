/*!
 * @file
 * @brief Sidecar daemon (role `side`): runs beside one endpoint and schedules its runs.
 */
#include "bergamottide/app/sidecarapp.h"
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
    const SystemClock clock;
    Loop loop{clock};
    SidecarApp app{loop, clock, settings, randomIncarnation()};
    const SignalWatch signals{loop, [&app] { app.drain("SIGTERM"); },
                              [] {
                              }};
    const absl::Status status = app.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    printAddresses(settings, {{"admin", app.adminAddress()}, {"address", app.peersAddress()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    blockSignals();
    returnFreedMemory();
    gflags::SetUsageMessage("runs beside one endpoint: queues its runs fairly and stores their results");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings(FLAGS_settings, FLAGS_set, Role::Sidecar);
    if (!settings) {
        return 1;
    }
    return FLAGS_check ? 0 : run(*settings);
}
