#ifndef FILBERTWICK_PLATFORM_PROCESS_H_
#define FILBERTWICK_PLATFORM_PROCESS_H_

#include <string>

namespace filbertwick::platform {

/// Runs one entry or sidecar on the platform until SIGTERM or SIGINT starts a
/// graceful stop and that stop ends. Reloads a changed settings file, which it
/// reads periodically and on SIGHUP. Returns the exit code of the process.
int RunProcess(const std::string& settings_path);

/// Checks a settings file and logs the first fault. Returns the exit code.
int CheckSettings(const std::string& settings_path);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PROCESS_H_
