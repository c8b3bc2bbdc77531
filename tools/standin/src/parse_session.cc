#include "parse_session.h"

#include "parse_expr.h"

namespace cardamomchute::standin {
namespace {

class SessionParser {
 public:
  explicit SessionParser(TokenCursor* cursor) : in_(*cursor) {}

  bool Run(Statement* out) {
    return Transaction(out) || Settings(out) || Prepared(out);
  }

 private:
  bool Transaction(Statement* out) {
    if (in_.TakeWord("begin") || in_.TakeWords("start", "transaction")) {
      TakeNoise();
      out->body = Begin{Modes().value_or(false)};
    } else if (in_.TakeWord("commit") || in_.TakeWord("end")) {
      TakeNoise();
      out->body = Commit{};
    } else if (in_.TakeWord("abort")) {
      TakeNoise();
      out->body = Rollback{};
    } else if (in_.TakeWord("rollback")) {
      TakeNoise();
      ParseRollback(out);
    } else if (in_.TakeWord("savepoint")) {
      out->body = Savepoint{SavepointAction::kSet, in_.ExpectName()};
    } else if (in_.TakeWord("release")) {
      in_.TakeWord("savepoint");
      out->body = Savepoint{SavepointAction::kRelease, in_.ExpectName()};
    } else {
      return false;
    }
    return true;
  }

  void TakeNoise() {
    if (!in_.TakeWord("transaction")) in_.TakeWord("work");
  }

  void ParseRollback(Statement* out) {
    if (!in_.TakeWord("to")) {
      out->body = Rollback{};
      return;
    }
    in_.TakeWord("savepoint");
    out->body = Savepoint{SavepointAction::kRollbackTo, in_.ExpectName()};
  }

  /// Transaction modes; whether READ ONLY or READ WRITE was among them.
  std::optional<bool> Modes() {
    std::optional<bool> read_only;
    for (;;) {
      in_.TakeSymbol(",");
      if (in_.TakeWords("read", "only")) {
        read_only = true;
      } else if (in_.TakeWords("read", "write")) {
        read_only = false;
      } else if (in_.TakeWords("isolation", "level")) {
        TakeLevel();
      } else if (!in_.TakeWord("deferrable")) {
        return read_only;
      }
    }
  }

  void TakeLevel() {
    bool known = in_.TakeWords("read", "committed") ||
                 in_.TakeWords("read", "uncommitted") ||
                 in_.TakeWords("repeatable", "read") ||
                 in_.TakeWord("serializable");
    if (!known) in_.FailHere();
  }

  bool Settings(Statement* out) {
    if (in_.TakeWord("set")) {
      ParseSet(out);
    } else if (in_.TakeWord("show")) {
      out->body = Show{SettingName()};
    } else if (in_.TakeWord("reset")) {
      out->body = Reset{in_.TakeWord("all") ? "" : SettingName()};
    } else if (in_.TakeWord("discard")) {
      ParseDiscard(out);
    } else if (in_.TakeWords("alter", "system")) {
      in_.ExpectWord("set");
      AlterSystem alter;
      alter.name = SettingName();
      if (!in_.TakeSymbol("=")) in_.ExpectWord("to");
      alter.value = SettingValue().value_or("");
      out->body = std::move(alter);
    } else {
      return false;
    }
    return true;
  }

  void ParseSet(Statement* out) {
    if (in_.TakeWord("transaction")) {
      out->body = SetTransaction{Modes()};
      return;
    }
    if (in_.PeekWord("session") && in_.PeekWord("characteristics", 1)) {
      ParseCharacteristics(out);
      return;
    }
    Set set;
    set.local = in_.TakeWord("local");
    if (!set.local) in_.TakeWord("session");
    if (in_.TakeWords("time", "zone")) {
      set.name = "timezone";
      set.value = SettingValue();
    } else {
      set.name = SettingName();
      if (!in_.TakeSymbol("=")) in_.ExpectWord("to");
      set.value = SettingValue();
    }
    out->body = std::move(set);
  }

  /// SESSION CHARACTERISTICS AS TRANSACTION modes: a setting like another.
  void ParseCharacteristics(Statement* out) {
    in_.Next();
    in_.Next();
    in_.ExpectWord("as");
    in_.ExpectWord("transaction");
    bool read_only = Modes().value_or(false);
    out->body =
        Set{"default_transaction_read_only", read_only ? "on" : "off", false};
  }

  std::string SettingName() {
    std::string name = in_.ExpectName();
    while (in_.TakeSymbol(".")) name += "." + in_.ExpectName();
    return name;
  }

  /// Values separated by commas, as one text; nothing for DEFAULT.
  std::optional<std::string> SettingValue() {
    if (in_.TakeWord("default")) return std::nullopt;
    std::string value;
    do {
      if (!value.empty()) value += ", ";
      if (in_.TakeSymbol("-")) value += "-";
      if (in_.AtEnd() || in_.Peek().kind == TokenKind::kSymbol) {
        in_.FailHere();
        return value;
      }
      value += in_.Next().text;
    } while (in_.TakeSymbol(","));
    return value;
  }

  void ParseDiscard(Statement* out) {
    if (in_.TakeWord("all")) {
      out->body = Discard{DiscardScope::kAll};
    } else if (in_.TakeWord("plans")) {
      out->body = Discard{DiscardScope::kPlans};
    } else if (in_.TakeWord("sequences") || in_.TakeWord("temp")) {
      out->body = Discard{DiscardScope::kOther};
    } else {
      in_.FailHere();
    }
  }

  bool Prepared(Statement* out) {
    if (in_.TakeWord("execute")) {
      ExecutePrepared execute;
      execute.name = in_.ExpectName();
      if (in_.PeekSymbol("(")) execute.args = ParseExprList(&in_);
      out->body = std::move(execute);
      return true;
    }
    if (!in_.TakeWord("deallocate")) return false;
    in_.TakeWord("prepare");
    out->body = Deallocate{in_.TakeWord("all") ? "" : in_.ExpectName()};
    return true;
  }

  TokenCursor& in_;
};

}  // namespace

bool ParseSession(TokenCursor* cursor, Statement* out) {
  return SessionParser(cursor).Run(out);
}

}  // namespace cardamomchute::standin
