package org.tanagergap.decisions.routing;

import java.util.OptionalDouble;

/**
 * Attempt that was sent to an agent and has not ended.
 *
 * @param agent chosen agent
 * @param predictedSeconds predicted time to the first token, without the attempt's own load
 */
record SentAttempt(RoutedAgent agent, OptionalDouble predictedSeconds) {}
