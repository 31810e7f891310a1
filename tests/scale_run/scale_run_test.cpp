// The scale run: its pure parts, and a small play of the command as a process.
#include <doctest/doctest.h>
#include <picojson.h>

#include <string>

#include "config/configuration.hpp"
#include "process.hpp"
#include "scale_run/figures.hpp"
#include "scale_run/fleet_plan.hpp"
#include "scale_run/platform_stand_in.hpp"

namespace burlwind::scale_run {
namespace {

TEST_CASE("a list of sizes is read whole or not at all") {
  std::vector<unsigned> sizes;
  CHECK(readSizes("60,150,300", sizes));
  CHECK(sizes == std::vector<unsigned>{60, 150, 300});
  for (const char* bad : {"", "60,", ",60", "0", "-1", "60;150", "6o", "2001", "99999999999"}) {
    CAPTURE(bad);
    CHECK_FALSE(readSizes(bad, sizes));
  }
}

TEST_CASE("a bound that is broken is named") {
  CHECK(brokenBound(Options{}).empty());
  Options options;
  options.registries = 10;
  CHECK(brokenBound(options).find("--registries") != std::string::npos);
  options = {};
  options.zones = 5, options.regions = 6;
  CHECK(brokenBound(options).find("--zones") != std::string::npos);
  options = {};
  options.seconds = 301;
  CHECK(brokenBound(options).find("--seconds") != std::string::npos);
}

TEST_CASE("the plan's configuration reads, has the stated size, and its quotas are twice the load") {
  Options options;
  options.tenants = 300, options.routes = 40, options.services = 7, options.workers = 70;
  FleetPlan plan(options);
  plan.setProxies(50);
  const auto read = config::readConfiguration(plan.configuration(8, 7));
  REQUIRE_MESSAGE(read.configuration, read.fault);
  CHECK(read.configuration->version == 8);
  CHECK(read.configuration->parent == 7);
  CHECK(read.configuration->tenants.size() == 300);
  CHECK(read.configuration->routes.size() == 40);
  CHECK(read.configuration->services.size() == 7);
  double rates = 0;
  for (const auto& tenant : read.configuration->tenants) rates += tenant.rate;
  CHECK(rates == doctest::Approx(2 * plan.totalLoad(50)).epsilon(0.01));
  CHECK(plan.tenantOf(0) == 0);
  CHECK(plan.tenantOf(0.999999999) == 299);
}

TEST_CASE("settings that the plan writes are read by the programs' own reader") {
  const FleetPlan plan(Options{});
  for (const std::string& text :
       {plan.coreSettings(2, "data", true), plan.coreSettings(0, "data", false), plan.realProxySettings(1)}) {
    const auto read = config::readSettings(text);
    REQUIRE_MESSAGE(read.settings, read.fault);
    CHECK(read.settings->seeds.size() == 3);
    CHECK(read.settings->regionOf.size() == 25);
    CHECK(read.settings->platformLag == 800);
  }
}

TEST_CASE("a line through points by least squares") {
  const Line line = fitLine({{60, 130}, {150, 310}, {300, 610}});
  CHECK(line.slope == doctest::Approx(2));
  CHECK(line.base == doctest::Approx(10));
  CHECK(line.at(540) == doctest::Approx(1090));
  CHECK(fitLine({{5, 7}}).at(100) == doctest::Approx(7));
  CHECK(fitLine({}).at(100) == 0);
}

TEST_CASE("lines of traffic are read out of a log, and what is none is passed over") {
  const std::string log =
      "{\"t\":0.1,\"what\":\"starts\"}\nno json \"what\":\"traffic\"\n"
      "{\"t\":10.5,\"what\":\"traffic\",\"in\":\"Status 20 640, Heartbeat 5 35\",\"out\":\"\"}\n";
  const auto lines = trafficLines(log);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].seconds == doctest::Approx(10.5));
  CHECK(lines[0].in.at("Status").messages == 20);
  CHECK(lines[0].in.at("Heartbeat").bytes == 35);
  CHECK(lines[0].out.empty());
}

TEST_CASE("a worker's id tells the change that brought it") {
  CHECK(PlatformStandIn::changeOf("i-new17") == 17);
  CHECK(PlatformStandIn::changeOf("i-1000004") == 0);
}

TEST_CASE("a small play is measured whole") {
  Folder folder;
  Process play(BURLWIND_SCALE,
               {"--proxies",
                "10",
                "--seconds",
                "2",
                "--tenants",
                "40",
                "--routes",
                "20",
                "--workers",
                "120",
                "--services",
                "6",
                "--regions",
                "3",
                "--zones",
                "6",
                "--changes-per-minute",
                "60",
                "--list-changes-per-minute",
                "60",
                "--requests-per-second",
                "20",
                "--json"},
               folder.path);
  REQUIRE(play.ends() == 0);
  const std::string& said = play.said();
  const auto from = said.find('{');
  REQUIRE(from != std::string::npos);
  picojson::value json;
  const std::string fault = picojson::parse(json, said.substr(from));
  REQUIRE_MESSAGE(fault.empty(), said);
  const picojson::value& one = json.get("plays").get<picojson::array>().at(0);
  CHECK(one.get("fault").get<std::string>().empty());
  CHECK(one.get("proxies").get<double>() == 10);
  const picojson::value& figures = one.get("figures");
  CHECK(figures.get("ms order acknowledged").get<double>() > 0);
  CHECK(figures.get("ms list change").get<double>() > 0);
  CHECK(figures.get("registry resident MB").get<double>() > 0);
  CHECK(figures.get("hollow proxy bytes/s in").get<double>() > 0);
  const picojson::value& kinds = one.get("roles").get("hollow proxy");
  CHECK(kinds.get("in").contains("ConfigUpdate"));
  CHECK(kinds.get("in").contains("Workers"));
  CHECK(kinds.get("out").contains("Status"));
}

TEST_CASE("the command line is told what is wrong with it") {
  Folder folder;
  Process odd(BURLWIND_SCALE, {"--bogus"}, folder.path);
  CHECK(odd.ends() == 2);
  CHECK(odd.said().find("--bogus") != std::string::npos);
  Process many(BURLWIND_SCALE, {"--proxies", "5000"}, folder.path);
  CHECK(many.ends() == 2);
  CHECK(many.said().find("--proxies") != std::string::npos);
  Process version(BURLWIND_SCALE, {"--version"}, folder.path);
  CHECK(version.ends() == 0);
  // No programs are there: the play says what it waited for.
  Process none(BURLWIND_SCALE, {"--proxies", "1", "--programs", folder.path.string()}, folder.path);
  CHECK(none.ends() == 1);
}

}  // namespace
}  // namespace burlwind::scale_run
