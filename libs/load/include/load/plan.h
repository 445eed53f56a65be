#pragma once

#include "transport/address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Cornelquay {

/** A team that sends requests. */
struct LoadTeam {
    std::string name;
    std::string key;
    /** Relative number of requests: the team sends weight / sum of all weights of them. */
    double weight = 1;
};

/** A worker that is called directly instead of through a node, as a baseline. */
struct DirectTarget {
    Address address;
    std::uint64_t incarnation = 0;
};

/** Settings of a load run. */
struct LoadSettings {
    /** Callers' addresses of the nodes. */
    std::vector<Address> targets;
    /** If not empty, these workers are called instead of the targets. */
    std::vector<DirectTarget> direct;
    std::vector<LoadTeam> teams;
    std::vector<std::string> services;
    std::size_t requests = 1000;
    /** Requests per second; 0 sends the next request as soon as a thread is free. */
    double rate = 0;
    std::size_t threads = 16;
    /** Seed of the schedule. */
    std::uint64_t seed = 1;
    /** Fraction of idempotent requests, 0 to 1. */
    double idempotentFraction = 0.5;
    /** Fraction of urgent requests, 0 to 1. */
    double urgentFraction = 0.1;
    /** Number of nodes that get each request at the same time, under the same request id. */
    std::size_t copies = 1;
    /** Fraction of requests, 0 to 1, sent to the first target. The rest is spread evenly over all targets. */
    double skew = 0;
    /** Run time that each task asks of the stand-in worker. */
    std::chrono::milliseconds runTime{0};
    /** Time from sending a request to its deadline. */
    std::chrono::milliseconds deadline{10000};
    std::size_t payloadBytes = 64;
    /** Acts as a load balancer: sends only to ready nodes, and tries the next node if one did not take the request. */
    bool balance = false;
    /** Prefix of each request id, so that several runs against one fleet use different ids. */
    std::string idPrefix = "load";
};

/** One request of the schedule. */
struct PlannedRequest {
    std::size_t index = 0;
    /** Time to send it, from the start of the run. */
    std::chrono::microseconds sendOffset{0};
    /** Index into LoadSettings::teams. */
    std::size_t team = 0;
    std::string service;
    /** Indices into LoadSettings::targets of the nodes that get a copy, in order. */
    std::vector<std::size_t> targets;
    std::string requestId;
    bool idempotent = false;
    bool urgent = false;
    std::string payload;
};

/** Creates the schedule. Equal settings give equal schedules. Pure. */
std::vector<PlannedRequest> makePlan(const LoadSettings &settings);

}
