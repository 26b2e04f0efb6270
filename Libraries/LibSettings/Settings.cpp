//===- LibSettings/Settings.cpp - Parsing and checking settings -----------===//
///
/// \file
/// Parses each row of the table separately, then runs the checks that span
/// several settings. These checks run even if some values are invalid, so that
/// all findings are reported at once.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/Settings.h>

#include <LibSettings/SettingRows.h>
#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>

namespace carobhinge {

static constexpr std::string_view AddressForm =
    "an IP number and a port, such as 10.0.0.1:9001";

static NetworkAddress readAddress(JsonReader &Reader, std::string_view Name) {
  std::string Text = Reader.requiredString(Name);
  std::optional<NetworkAddress> Address = parseNetworkAddress(Text);
  if (!Address && !Text.empty())
    Reader.report(Name, AddressForm, "\"" + Text + "\"");
  return Address.value_or(NetworkAddress{});
}

static Roles readRoles(JsonReader &Reader, std::string_view Name) {
  Roles Result;
  std::vector<std::string> Names = Reader.optionalStrings(Name);
  for (std::size_t I = 0; I < Names.size(); ++I) {
    bool IsRole = Names[I] == "entry" || Names[I] == "control";
    if (!IsRole || std::count(Names.begin(), Names.begin() + I, Names[I]) > 0)
      Reader.report(Name, "\"entry\", \"control\" or both, each once",
                    "\"" + Names[I] + "\"");
    Result.Entry |= Names[I] == "entry";
    Result.Control |= Names[I] == "control";
  }
  if (Names.empty())
    Reader.report(Name, "\"entry\", \"control\" or both", "nothing");
  return Result;
}

static std::vector<Peer> readPeers(JsonReader &Reader, std::string_view Name) {
  std::vector<Peer> Result;
  Reader.eachObject(Name, [&](JsonReader &Each) {
    Result.push_back(
        Peer{.Host = Each.requiredString("host"),
             .FailureDomain = Each.requiredString("failure_domain"),
             .Region = Each.requiredString("region"),
             .Address = readAddress(Each, "address"),
             .AssignedRoles = readRoles(Each, "roles")});
  });
  return Result;
}

/// Reads the value of a row according to the type of its target.
class RowReader {
public:
  RowReader(const SettingRow &Row, JsonReader &Reader, Settings &Result)
      : Row(Row), Reader(Reader), Result(Result) {}

  void operator()(std::string &(*Target)(Settings &)) {
    if (!this->Row.Choices.empty())
      Target(this->Result) =
          this->Reader.optionalChoice(this->Row.Name, this->Row.Choices);
    else if (this->Row.TextDefault)
      Target(this->Result) =
          this->Reader.optionalString(this->Row.Name, *this->Row.TextDefault);
    else
      Target(this->Result) = this->Reader.requiredString(this->Row.Name);
  }
  void operator()(std::int64_t &(*Target)(Settings &)) {
    Target(this->Result) = this->readNumber();
  }
  void operator()(Duration &(*Target)(Settings &)) {
    Target(this->Result) = std::chrono::milliseconds(this->readNumber());
  }
  void operator()(NetworkAddress &(*Target)(Settings &)) {
    Target(this->Result) = readAddress(this->Reader, this->Row.Name);
  }
  void operator()(Roles &(*Target)(Settings &)) {
    Target(this->Result) = readRoles(this->Reader, this->Row.Name);
  }
  void operator()(std::vector<Peer> &(*Target)(Settings &)) {
    Target(this->Result) = readPeers(this->Reader, this->Row.Name);
  }

private:
  std::int64_t readNumber() {
    return this->Reader.optionalInteger(this->Row.Name, this->Row.NumberDefault,
                                        this->Row.Range);
  }

  const SettingRow &Row;
  JsonReader &Reader;
  Settings &Result;
};

static void readSection(std::string_view Section, JsonReader &Reader,
                        Settings &Result) {
  for (const SettingRow &Row : settingRows())
    if (Row.Section == Section)
      std::visit(RowReader(Row, Reader, Result), Row.Target);
}

/// Reads a missing section as an empty object, so that its defaults apply and
/// its missing required settings are reported.
static void readSections(JsonReader &Reader, Settings &Result, Findings &Out) {
  static const boost::json::value Empty = boost::json::object();
  std::string_view PreviousSection;
  for (const SettingRow &Row : settingRows()) {
    std::string_view Section = Row.Section;
    if (std::exchange(PreviousSection, Section) == Section)
      continue;
    auto ReadInto = [&](JsonReader &SectionReader) {
      readSection(Section, SectionReader, Result);
    };
    Reader.optionalObject(Section, ReadInto);
    if (Reader.has(Section))
      continue;
    JsonReader Missing(Empty, "/" + std::string(Section), Out);
    ReadInto(Missing);
  }
}

static void checkRoles(const Settings &Parsed, Findings &Out) {
  if (Parsed.AssignedRoles.Control && Parsed.DataFolder.empty())
    Out.add("/data_folder", "a folder, as the roles name \"control\"",
            "nothing");
  bool AnyVoter = Parsed.AssignedRoles.Control ||
                  std::ranges::any_of(Parsed.Peers, [](const Peer &Each) {
                    return Each.AssignedRoles.Control;
                  });
  if (!AnyVoter)
    Out.add("/peers", "at least one host with the role \"control\"",
            "no such host");
}

static void checkHosts(const Settings &Parsed, Findings &Out) {
  std::map<HostName, std::string> FirstPlaces;
  FirstPlaces.emplace(Parsed.Host, "/host");
  for (std::size_t I = 0; I < Parsed.Peers.size(); ++I) {
    std::string Place = "/peers/" + std::to_string(I) + "/host";
    const HostName &Host = Parsed.Peers[I].Host;
    auto [First, Inserted] = FirstPlaces.emplace(Host, Place);
    if (!Inserted && !Host.empty())
      Out.add(Place, "a name unlike that of " + First->second,
              "\"" + Host + "\"");
  }
}

static void checkAddresses(const Settings &Parsed, Findings &Out) {
  std::map<std::string, std::string> FirstPlaces;
  auto Check = [&](const NetworkAddress &Address, const std::string &Place) {
    if (Address.Port == 0)
      return;
    auto [First, Inserted] = FirstPlaces.emplace(Address.text(), Place);
    if (!Inserted)
      Out.add(Place, "an address unlike that of " + First->second,
              "\"" + Address.text() + "\"");
  };
  Check(Parsed.Listen.Callers, "/listen/callers");
  Check(Parsed.Listen.Endpoints, "/listen/endpoints");
  Check(Parsed.Listen.Operators, "/listen/operators");
  Check(Parsed.Listen.Peers, "/listen/peers");
  for (std::size_t I = 0; I < Parsed.Peers.size(); ++I)
    Check(Parsed.Peers[I].Address, "/peers/" + std::to_string(I) + "/address");
}

/// Checks that each failure domain lies in one region only.
static void checkRegions(const Settings &Parsed, Findings &Out) {
  std::map<FailureDomainName, RegionName> Regions;
  Regions.emplace(Parsed.FailureDomain, Parsed.Region);
  for (std::size_t I = 0; I < Parsed.Peers.size(); ++I) {
    const Peer &Each = Parsed.Peers[I];
    auto [First, Inserted] = Regions.emplace(Each.FailureDomain, Each.Region);
    if (!Inserted && First->second != Each.Region)
      Out.add("/peers/" + std::to_string(I) + "/region",
              "\"" + First->second + "\", the region of failure domain \"" +
                  Each.FailureDomain + "\" elsewhere",
              "\"" + Each.Region + "\"");
  }
}

static void checkTimes(const Timing &Times, Findings &Out) {
  auto AtLeast = [&](std::string_view Place, Duration Value, Duration Min) {
    if (Value < Min)
      Out.add(Place, "at least " + std::to_string(milliseconds(Min)),
              std::to_string(milliseconds(Value)));
  };
  AtLeast("/timing/election_ms", Times.Election, 3 * Times.Heartbeat);
  AtLeast("/timing/ping_timeout_ms", Times.PingTimeout,
          Times.Ping + std::chrono::milliseconds(1));
  AtLeast("/timing/reconnect_most_ms", Times.MaxReconnectDelay,
          Times.MinReconnectDelay);
  AtLeast("/timing/cut_off_ms", Times.CutOff, 3 * Times.IntentPoll);
}

Settings parseSettings(std::string_view Json, Findings &Out) {
  Settings Result;
  std::optional<boost::json::value> Value = parseJson(Json, Out);
  if (!Value)
    return Result;
  JsonReader Reader(*Value, "", Out);
  if (!Value->is_object())
    return Result;
  readSection("", Reader, Result);
  readSections(Reader, Result, Out);
  Reader.finish();
  checkRoles(Result, Out);
  checkHosts(Result, Out);
  checkAddresses(Result, Out);
  checkRegions(Result, Out);
  checkTimes(Result.Times, Out);
  std::ranges::sort(Result.Peers, {}, &Peer::Host);
  return Result;
}

Settings loadSettings(const std::string &Path) {
  Findings Found;
  std::ifstream File(Path, std::ios::binary);
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  Settings Result;
  if (File.good() || File.eof())
    Result = parseSettings(Text, Found);
  else
    Found.add(Path, "a readable file", "none");
  if (!Found.empty())
    throw FindingsError(std::move(Found));
  return Result;
}

} // namespace carobhinge
