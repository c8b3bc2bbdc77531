#include "cardamomchute/operators/cli.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fake_operator_api.h"

namespace cardamomchute {
namespace {

using Words = std::vector<std::string>;

CliCommand Parsed(const Words& words) {
  CliParse parse = ParseCli(words);
  BOOST_REQUIRE_MESSAGE(parse.command, parse.text);
  return *parse.command;
}

/// A file that goes away with the test.
class TempFile {
 public:
  explicit TempFile(std::string_view text) {
    static int count = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("cardamomchute-cli-" + std::to_string(::getpid()) + "-" +
             std::to_string(++count) + ".toml");
    std::ofstream(path_) << text;
  }
  ~TempFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

struct Printed {
  ExitCode code;
  std::string out;
  std::string err;
};

Printed RunWords(const Words& words) {
  std::ostringstream out;
  std::ostringstream err;
  ExitCode code = RunCli(Parsed(words), out, err);
  return Printed{code, out.str(), err.str()};
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct Fixture {
  FakeOperatorApi api;
  std::string server = ToString(api.address());
  TempFile good{kSampleDocument};

  Printed Submit(const std::string& replaces, const std::string& id) {
    return RunWords({"submit", "-e", "trial", "--replaces", replaces, "--file",
                     good.path(), "--server", server, "--id", id});
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_submission_is_read) {
  CliCommand command =
      Parsed({"submit", "--environment", "trial", "--replaces", "3", "--file",
              "a.toml", "--server", "127.0.0.1:1,127.0.0.1:2", "--output",
              "json", "--id", "x", "--submitter", "ann"});
  BOOST_TEST((command.verb == CliVerb::kSubmit));
  BOOST_TEST((command.output == OutputFormat::kJson));
  BOOST_TEST(command.environment.value() == "trial");
  BOOST_TEST(*command.replaces == Version(3));
  BOOST_TEST(command.files[0] == "a.toml");
  BOOST_TEST(command.servers.size() == 2U);
  BOOST_TEST(command.id == "x");
  BOOST_TEST(command.submitter == "ann");
}

BOOST_AUTO_TEST_CASE(a_promotion_is_read) {
  CliCommand command = Parsed({"promote", "--from", "trial", "--to",
                               "production", "--server", "127.0.0.1:1"});
  BOOST_TEST(command.from.value() == "trial");
  BOOST_TEST(command.environment.value() == "production");
  BOOST_TEST(!command.replaces);
}

BOOST_AUTO_TEST_CASE(help_is_no_misuse) {
  for (const Words& words :
       {Words{"--help"}, Words{"submit", "--help"}, Words{"--version"}}) {
    CliParse parse = ParseCli(words);
    BOOST_TEST(!parse.command);
    BOOST_TEST((parse.exit_code == ExitCode::kOk));
    BOOST_TEST(!parse.text.empty());
  }
  BOOST_TEST(Has(ParseCli({"submit", "--help"}).text, "replaces"));
}

BOOST_AUTO_TEST_CASE(misuse_is_told_with_a_remedy) {
  const Words all[] = {
      {},
      {"remove"},
      {"validate"},
      {"validate", "a", "b"},
      {"diff", "a"},
      {"diff", "--environment", "e", "a"},
      {"status", "--server", "127.0.0.1:1"},
      {"status", "--environment", "e", "--server", "host:1"},
      {"status", "--environment", "e", "--server", "127.0.0.1:1", "--output",
       "xml"},
      {"submit", "--environment", "e", "--server", "127.0.0.1:1", "--file",
       "a"},
      {"submit", "--environment", "e", "--server", "127.0.0.1:1", "--file", "a",
       "--replaces", "x"},
      {"promote", "--from", "e", "--to", "e", "--server", "127.0.0.1:1"},
  };
  for (const Words& words : all) {
    CliParse parse = ParseCli(words);
    BOOST_TEST(!parse.command);
    BOOST_TEST((parse.exit_code == ExitCode::kUsage));
    BOOST_TEST(!parse.text.empty());
  }
}

BOOST_AUTO_TEST_CASE(validate_lists_every_fault) {
  TempFile bad("title = 7\ncolour = 1\n");
  Printed printed = RunWords({"validate", bad.path()});
  BOOST_TEST((printed.code == ExitCode::kInvalidInput));
  BOOST_TEST(Has(printed.err, "line 1: title"));
  BOOST_TEST(Has(printed.err, "line 2: colour"));
  TempFile good(kSampleDocument);
  BOOST_TEST((RunWords({"validate", good.path()}).code == ExitCode::kOk));
  BOOST_TEST(
      (RunWords({"validate", "/nowhere/a"}).code == ExitCode::kNotFound));
}

BOOST_FIXTURE_TEST_CASE(a_resend_gets_the_first_answer, Fixture) {
  Printed first = Submit("0", "same");
  BOOST_TEST((first.code == ExitCode::kOk));
  BOOST_TEST(Has(first.out, "accepted as version 1"));
  BOOST_TEST(Has(first.err, "submission id same"));
  Printed second = Submit("0", "same");
  BOOST_TEST((second.code == ExitCode::kOk));
  BOOST_TEST(Has(second.out, "accepted as version 1"));
  BOOST_TEST(Has(second.out, "sent before"));
}

BOOST_FIXTURE_TEST_CASE(the_second_of_two_racers_gets_a_conflict, Fixture) {
  BOOST_TEST((Submit("0", "one").code == ExitCode::kOk));
  Printed loser = Submit("0", "two");
  BOOST_TEST((loser.code == ExitCode::kConflict));
  BOOST_TEST(Has(loser.err, "version 1 is current"));
}

BOOST_FIXTURE_TEST_CASE(promote_takes_the_current_versions, Fixture) {
  BOOST_TEST((Submit("0", "one").code == ExitCode::kOk));
  Printed printed = RunWords(
      {"promote", "--from", "trial", "--to", "production", "--server", server});
  BOOST_TEST((printed.code == ExitCode::kOk));
  Printed history =
      RunWords({"history", "-e", "production", "--server", server, "--text"});
  BOOST_TEST(Has(history.out, "promote trial"));
  BOOST_TEST(Has(history.out, "Job tickets"));
}

BOOST_FIXTURE_TEST_CASE(diff_compares_with_the_accepted_document, Fixture) {
  Words words = {"diff", "-e", "trial", "--server", server, good.path()};
  BOOST_TEST((RunWords(words).code == ExitCode::kNotFound));
  BOOST_TEST((Submit("0", "one").code == ExitCode::kOk));
  BOOST_TEST(RunWords(words).out == "no difference\n");
}

BOOST_FIXTURE_TEST_CASE(status_and_watch_print_reports, Fixture) {
  BOOST_TEST((Submit("0", "one").code == ExitCode::kOk));
  Printed status = RunWords({"status", "-e", "trial", "--server", server});
  BOOST_TEST((status.code == ExitCode::kOk));
  BOOST_TEST(Has(status.out, "control-2 does not answer"));
  Printed watch =
      RunWords({"watch", "-e", "trial", "--server", server, "--count", "1"});
  BOOST_TEST(Has(watch.out, "environment  trial"));
}

}  // namespace cardamomchute
