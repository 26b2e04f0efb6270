//===- LibSettings/Settings.cpp - Reading and checking settings -----------===//
///
/// \file
/// Each row of the table is read on its own; then the checks that span
/// several settings run. The latter look at what was read, so that a text
/// with a wrong value still gets all other findings.
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
  std::vector<std::string> Words = Reader.optionalStrings(Name);
  for (std::size_t I = 0; I < Words.size(); ++I) {
    bool Known = Words[I] == "entry" || Words[I] == "control";
    if (!Known || std::count(Words.begin(), Words.begin() + I, Words[I]) > 0)
      Reader.report(Name, "\"entry\", \"control\" or both, each once",
                    "\"" + Words[I] + "\"");
    Result.Entry |= Words[I] == "entry";
    Result.Control |= Words[I] == "control";
  }
  if (Words.empty())
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
             .Does = readRoles(Each, "roles")});
  });
  return Result;
}

/// Reads the value of a row by the kind of its target.
class RowReader {
public:
  RowReader(const SettingRow &Row, JsonReader &Reader, Settings &Into)
      : Row(Row), Reader(Reader), Into(Into) {}

  void operator()(std::string &(*Target)(Settings &)) {
    if (!this->Row.Choices.empty())
      Target(this->Into) =
          this->Reader.optionalChoice(this->Row.Name, this->Row.Choices);
    else if (this->Row.TextDefault)
      Target(this->Into) =
          this->Reader.optionalString(this->Row.Name, *this->Row.TextDefault);
    else
      Target(this->Into) = this->Reader.requiredString(this->Row.Name);
  }
  void operator()(std::int64_t &(*Target)(Settings &)) {
    Target(this->Into) = this->readNumber();
  }
  void operator()(Duration &(*Target)(Settings &)) {
    Target(this->Into) = std::chrono::milliseconds(this->readNumber());
  }
  void operator()(NetworkAddress &(*Target)(Settings &)) {
    Target(this->Into) = readAddress(this->Reader, this->Row.Name);
  }
  void operator()(Roles &(*Target)(Settings &)) {
    Target(this->Into) = readRoles(this->Reader, this->Row.Name);
  }
  void operator()(std::vector<Peer> &(*Target)(Settings &)) {
    Target(this->Into) = readPeers(this->Reader, this->Row.Name);
  }

private:
  std::int64_t readNumber() {
    return this->Reader.optionalInteger(this->Row.Name, this->Row.NumberDefault,
                                        this->Row.Range);
  }

  const SettingRow &Row;
  JsonReader &Reader;
  Settings &Into;
};

static void readSection(std::string_view Section, JsonReader &Reader,
                        Settings &Into) {
  for (const SettingRow &Row : settingRows())
    if (Row.Section == Section)
      std::visit(RowReader(Row, Reader, Into), Row.Target);
}

/// A section left out is read as an empty object, so that its defaults hold
/// and its required settings are reported.
static void readSections(JsonReader &Reader, Settings &Into, Findings &Out) {
  static const boost::json::value Empty = boost::json::object();
  std::string_view Last;
  for (const SettingRow &Row : settingRows()) {
    std::string_view Section = Row.Section;
    if (std::exchange(Last, Section) == Section)
      continue;
    auto Read = [&](JsonReader &Inner) { readSection(Section, Inner, Into); };
    Reader.optionalObject(Section, Read);
    if (Reader.has(Section))
      continue;
    JsonReader Missing(Empty, "/" + std::string(Section), Out);
    Read(Missing);
  }
}

static void checkRoles(const Settings &Read, Findings &Out) {
  if (Read.Does.Control && Read.DataFolder.empty())
    Out.add("/data_folder", "a folder, as the roles name \"control\"",
            "nothing");
  bool AnyVoter = Read.Does.Control ||
                  std::ranges::any_of(Read.Peers, [](const Peer &Each) {
                    return Each.Does.Control;
                  });
  if (!AnyVoter)
    Out.add("/peers", "at least one host with the role \"control\"",
            "no such host");
}

static void checkHosts(const Settings &Read, Findings &Out) {
  std::map<HostName, std::string> Seen;
  Seen.emplace(Read.Host, "/host");
  for (std::size_t I = 0; I < Read.Peers.size(); ++I) {
    std::string Place = "/peers/" + std::to_string(I) + "/host";
    const HostName &Host = Read.Peers[I].Host;
    auto [Before, New] = Seen.emplace(Host, Place);
    if (!New && !Host.empty())
      Out.add(Place, "a name unlike that of " + Before->second,
              "\"" + Host + "\"");
  }
}

static void checkAddresses(const Settings &Read, Findings &Out) {
  std::map<std::string, std::string> Seen;
  auto Check = [&](const NetworkAddress &Address, const std::string &Place) {
    if (Address.Port == 0)
      return;
    auto [Before, New] = Seen.emplace(Address.text(), Place);
    if (!New)
      Out.add(Place, "an address unlike that of " + Before->second,
              "\"" + Address.text() + "\"");
  };
  Check(Read.Listen.Callers, "/listen/callers");
  Check(Read.Listen.Endpoints, "/listen/endpoints");
  Check(Read.Listen.Operators, "/listen/operators");
  Check(Read.Listen.Peers, "/listen/peers");
  for (std::size_t I = 0; I < Read.Peers.size(); ++I)
    Check(Read.Peers[I].Address, "/peers/" + std::to_string(I) + "/address");
}

/// A failure domain lies in one region.
static void checkRegions(const Settings &Read, Findings &Out) {
  std::map<FailureDomainName, RegionName> Seen;
  Seen.emplace(Read.FailureDomain, Read.Region);
  for (std::size_t I = 0; I < Read.Peers.size(); ++I) {
    const Peer &Each = Read.Peers[I];
    auto [Before, New] = Seen.emplace(Each.FailureDomain, Each.Region);
    if (!New && Before->second != Each.Region)
      Out.add("/peers/" + std::to_string(I) + "/region",
              "\"" + Before->second + "\", the region of failure domain \"" +
                  Each.FailureDomain + "\" elsewhere",
              "\"" + Each.Region + "\"");
  }
}

static void checkTimes(const Timing &Times, Findings &Out) {
  auto AtLeast = [&](std::string_view Place, Duration Value, Duration Least) {
    if (Value < Least)
      Out.add(Place, "at least " + std::to_string(milliseconds(Least)),
              std::to_string(milliseconds(Value)));
  };
  AtLeast("/timing/election_ms", Times.Election, 3 * Times.Heartbeat);
  AtLeast("/timing/ping_timeout_ms", Times.PingTimeout,
          Times.Ping + std::chrono::milliseconds(1));
  AtLeast("/timing/reconnect_most_ms", Times.ReconnectMost,
          Times.ReconnectLeast);
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
