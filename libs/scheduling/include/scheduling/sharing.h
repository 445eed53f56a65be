#pragma once

namespace Cornelquay {

/**
 * The share of their speed at which filling tasks may work beside serving ones, in percent.
 *
 * Answers the load pattern "filling tasks disturb serving ones by amounts that change within
 * seconds": they are slowed before a serving task is over its target, stopped once it is, and sped
 * up in small steps when there is room again. Pure.
 *
 * @p worstTail is the highest tail of a serving task on the worker as a part of its target, negative
 * if none is known; @p present is the share now.
 */
int decideSpeedPercent(double worstTailRatio, int currentPercent);

}
