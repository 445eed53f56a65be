#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Cornelquay {

/** Why a worker of the pool does not get a task. */
enum class CandidateRejection : std::uint8_t {
    /** Its registration was removed, or its instance has an order. */
    NotRegistered,
    /** It does not answer. */
    Unreachable,
    /** It has not answered this owner yet, so orders of a former owner may still take effect. */
    NotConfirmed,
    /** Its lease must not be extended. */
    LeaseNotExtended,
    Draining,
    /** It gets no work for some time after a failure. */
    Avoided,
    ZoneEvacuated,
    /** It is about to be moved or maintained. */
    Cordoned,
    /** The advice service has not permitted it. */
    NotPermitted,
    /** The task does not fit into its free capacity. */
    NoCapacity,
    LabelMissing,
    /** It is kept for a job that may crash its worker. */
    KeptForSuspect,
    /** It is kept for a larger task that fits nowhere at present. */
    KeptForLargerTask,
    /** It has as many tasks of the step as one worker may have. */
    StepLimit,
    /** The task would fit, but another worker is better. */
    OtherIsBetter,
};
constexpr std::array<std::string_view, 15> CandidateRejectionNames = {"not-registered",
                                                                      "unreachable",
                                                                      "not-confirmed",
                                                                      "lease-not-extended",
                                                                      "draining",
                                                                      "avoided",
                                                                      "zone-evacuated",
                                                                      "cordoned",
                                                                      "not-permitted",
                                                                      "no-capacity",
                                                                      "label-missing",
                                                                      "kept-for-suspect",
                                                                      "kept-for-larger-task",
                                                                      "step-limit",
                                                                      "other-is-better"};
std::string_view toName(CandidateRejection reason);

}
