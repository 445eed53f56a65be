#pragma once

namespace Cornelquay {

/**
 * Decides the speed limit of best-effort tasks that share a worker with serving tasks, in percent of
 * full speed.
 *
 * Best-effort tasks slow down serving tasks by amounts that change within seconds. They are slowed before
 * a serving task exceeds its tail latency target, paused when it is about to, and sped up in small steps
 * when the latency is well below the target. Pure function.
 *
 * @p worstTailRatio is the highest ratio of tail latency to target among the serving tasks on the worker,
 * negative if unknown, in which case the limit stays; @p currentPercent is the present limit.
 */
int decideSpeedPercent(double worstTailRatio, int currentPercent);

}
