package org.tanagergap.agent;

/** Kind of the agent's upstream. */
public enum UpstreamKind {
    /** Model engine. */
    MODEL,
    /** Plain HTTP service. */
    PLAIN
}
