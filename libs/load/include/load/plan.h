#pragma once

#include "transport/address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Cornelquay {

/** A team that sends, with its key and its part of all requests. */
struct LoadTeam {
    std::string name;
    std::string key;
    double weight = 1;
};

/** A worker that is called without any node between; for comparison. */
struct DirectTarget {
    Address address;
    std::uint64_t incarnation = 0;
};

/** What to send. */
struct LoadSettings {
    std::vector<Address> targets;
    /** If not empty, these are called instead of the targets. */
    std::vector<DirectTarget> direct;
    std::vector<LoadTeam> teams;
    std::vector<std::string> services;
    std::size_t requests = 1000;
    /** Requests a second; 0 sends as fast as the threads get answers. */
    double rate = 0;
    std::size_t threads = 16;
    std::uint64_t seed = 1;
    double idempotentFraction = 0.5;
    double urgentFraction = 0.1;
    /** How many nodes get the same request id at once. */
    std::size_t copies = 1;
    /** The fraction of requests that goes to the first target; the rest is spread evenly. */
    double skew = 0;
    std::chrono::milliseconds runTime{0};
    std::chrono::milliseconds deadline{10000};
    std::size_t payloadBytes = 64;
    /** Act as a balancer: send only to nodes that are ready, and on to another one if nothing ran there. */
    bool balance = false;
    /** Added to each request id, so that runs over one fleet do not meet. */
    std::string idPrefix = "load";
};

/** One request of the schedule. */
struct PlannedRequest {
    std::size_t index = 0;
    std::chrono::microseconds at{0};
    std::size_t team = 0;
    std::string service;
    /** Targets that get a copy, in order. */
    std::vector<std::size_t> targets;
    std::string requestId;
    bool idempotent = false;
    bool urgent = false;
    std::string payload;
};

/** The whole schedule; the same settings give the same schedule. Pure. */
std::vector<PlannedRequest> makePlan(const LoadSettings &settings);

}
