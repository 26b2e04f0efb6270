//===- Tests/PlatformWorld/EndpointField.cpp - All endpoints of a test ----===//

#include <PlatformWorld/EndpointField.h>

#include <PlatformWorld/PlatformEndpoint.h>
#include <boost/asio/post.hpp>
#include <future>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr unsigned EndpointPort = 8300;
/// Of the last part of the first endpoint's address.
static constexpr std::size_t FirstEndpoint = 100;

EndpointField::EndpointField(EndpointFieldOptions Given, ExecutionBook &Book)
    : Options(std::move(Given)), Book(Book) {
  for (const FailureDomainName &Place : this->Options.FailureDomains) {
    for (int I = 0; I < this->Options.FabricsPerDomain; ++I)
      for (int J = 0; J < this->Options.EnginesPerFabric; ++J)
        this->add(Place, Place + "-fabric-" + std::to_string(I));
    for (int I = 0; I < this->Options.PlainPerDomain; ++I)
      this->add(Place, {});
  }
}

void EndpointField::add(const FailureDomainName &Place,
                        const FabricDomainName &Fabric) {
  std::size_t Index = this->Endpoints.size();
  EndpointName Id =
      (Fabric.empty() ? "plain-" : "engine-") + std::to_string(100 + Index);
  if (!Fabric.empty())
    this->Crowd.add(Id, this->Options.Engines);
  std::string Address = this->Options.Network +
                        std::to_string(FirstEndpoint + Index) + ":" +
                        std::to_string(EndpointPort);
  this->Endpoints.push_back(
      std::make_unique<PlatformEndpoint>(*this, Id, Place, Fabric, Address));
}

EndpointField::~EndpointField() {
  this->Context.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void EndpointField::start() {
  for (auto &Each : this->Endpoints)
    Each->start();
  this->Thread = std::jthread([this] { this->Context.run(); });
}

void EndpointField::call(std::size_t Index, void (PlatformEndpoint::*What)()) {
  asio::post(this->Context, [this, Index, What] {
    (this->Endpoints.at(Index).get()->*What)();
  });
}

void EndpointField::crash(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::crash);
}

void EndpointField::revive(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::revive);
}

void EndpointField::drain(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::drain);
}

void EndpointField::setLink(std::size_t Index, LinkMode Mode, Duration Delay) {
  asio::post(this->Context, [this, Index, Mode, Delay] {
    this->Endpoints.at(Index)->link().setMode(Mode, Delay);
  });
}

void EndpointField::slow(std::size_t Index, double Factor) {
  asio::post(this->Context, [this, Index, Factor] {
    this->Endpoints.at(Index)->setPace(Factor);
  });
}

} // namespace carobhinge
