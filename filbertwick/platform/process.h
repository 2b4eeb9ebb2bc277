#ifndef FILBERTWICK_PLATFORM_PROCESS_H_
#define FILBERTWICK_PLATFORM_PROCESS_H_

#include <string>

namespace filbertwick::platform {

/// Runs one entry or sidecar on the users' platform until SIGTERM or SIGINT.
/// Reloads the settings on SIGHUP and when the file has changed. Returns the
/// exit code of the process.
int RunProcess(const std::string& settings_path);

/// Checks a settings file and logs the first fault. Returns the exit code.
int CheckSettings(const std::string& settings_path);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PROCESS_H_
