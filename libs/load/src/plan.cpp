#include "load/plan.h"

#include <numeric>
#include <random>

namespace Cornelquay {

namespace {

std::string payload(const LoadSettings &settings, std::mt19937_64 &random)
{
    constexpr std::string_view Alphabet = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string text = "run-ms=" + std::to_string(settings.runTime.count()) + ';';
    std::uniform_int_distribution<std::size_t> letter(0, Alphabet.size() - 1);
    while (text.size() < settings.payloadBytes) {
        text += Alphabet[letter(random)];
    }
    return text;
}

std::vector<std::size_t> targets(const LoadSettings &settings, std::mt19937_64 &random)
{
    const std::size_t count = settings.targets.size();
    std::uniform_int_distribution<std::size_t> anyTarget(0, count - 1);
    const bool skewed = std::uniform_real_distribution<double>(0, 1)(random) < settings.skew;
    const std::size_t first = skewed ? 0 : anyTarget(random);
    std::vector<std::size_t> result;
    for (std::size_t copy = 0; copy < settings.copies; ++copy) {
        result.push_back((first + copy) % count);
    }
    return result;
}

}

std::vector<PlannedRequest> makePlan(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::vector<double> weights;
    for (const LoadTeam &team : settings.teams) {
        weights.push_back(team.weight);
    }
    std::discrete_distribution<std::size_t> team(weights.begin(), weights.end());
    std::uniform_int_distribution<std::size_t> service(0, settings.services.size() - 1);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::exponential_distribution<double> gapSeconds(settings.rate > 0 ? settings.rate : 1);
    std::vector<PlannedRequest> plan;
    double offsetSeconds = 0;
    for (std::size_t index = 0; index < settings.requests; ++index) {
        PlannedRequest request;
        request.index = index;
        offsetSeconds += settings.rate > 0 ? gapSeconds(random) : 0;
        request.sendOffset = std::chrono::microseconds(static_cast<std::int64_t>(offsetSeconds * 1e6));
        request.team = team(random);
        request.service = settings.services[service(random)];
        request.targets = targets(settings, random);
        request.requestId = settings.idPrefix + '-' + std::to_string(settings.seed) + '-' + std::to_string(index);
        request.idempotent = fraction(random) < settings.idempotentFraction;
        request.urgent = fraction(random) < settings.urgentFraction;
        request.payload = payload(settings, random);
        plan.push_back(std::move(request));
    }
    return plan;
}

}
