/// A caller's text holds a line feed. The users' page ends a line with carriage
/// return and line feed, and the last field goes on to the end of the line.
/// Checks that the member runs that statement, or none.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "../common/site.h"

namespace review {
namespace {

int Run(const std::string& record_file) {
  Record record(record_file);
  SiteSettings settings;
  settings.group.name = "g1";
  Site site(settings, &record);
  if (!site.Start()) return kCannotRun;
  std::string feed = Trouble() ? "\n" : " ";
  // The note of one caller: pasted text of two lines.
  std::map<std::string, std::string> sent;
  sent["note1"] =
      "WRITE note plate 7 burnt" + feed + "QUERY inner1 WRITE ticket double";
  sent["note2"] = "READ note" + feed + "QUERY inner2 WRITE invoice none";
  size_t answered = 0;
  for (const auto& [id, text] : sent) {
    Client client("caller", &record);
    if (!client.Connect(site.CallersOf(0), "db1")) return kCannotRun;
    if (client.Query(id, text).complete) ++answered;
    SleepMs(500);
  }
  SleepMs(500);
  size_t breaks = 0;
  for (const RunStatement& run : site.group().Runs()) {
    auto known = sent.find(run.id);
    bool probe = run.id == "probe";
    std::string text = run.text;
    if (text.starts_with("AFTER ")) text = text.substr(text.find(' ', 6) + 1);
    if (probe || (known != sent.end() && known->second == text)) continue;
    ++breaks;
    record.Add("judge",
               "UNASKED " + run.member + " runs \"" + run.id + " " + text +
                   "\": " +
                   (known == sent.end() ? "no client sent that id"
                                        : "the client sent another text"));
  }
  site.Stop();
  std::printf("answered %zu of %zu; UNASKED %zu\n", answered, sent.size(),
              breaks);
  if (breaks > 0) return kBroken;
  return kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
