/// The operators' command line.
#include <iostream>
#include <string>
#include <vector>

#include "cardamomchute/operators/cli.h"

int main(int argc, char** argv) {
  using cardamomchute::CliParse;
  using cardamomchute::ExitCode;
  std::vector<std::string> arguments(argv + 1, argv + argc);
  CliParse parse = cardamomchute::ParseCli(arguments);
  if (parse.command) {
    return static_cast<int>(
        cardamomchute::RunCli(*parse.command, std::cout, std::cerr));
  }
  bool misused = parse.exit_code != ExitCode::kOk;
  (misused ? std::cerr : std::cout) << parse.text;
  return static_cast<int>(parse.exit_code);
}
