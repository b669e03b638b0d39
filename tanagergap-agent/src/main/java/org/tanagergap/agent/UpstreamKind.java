package org.tanagergap.agent;

/** What stands beside the agent. */
public enum UpstreamKind {
    /** Model engine. */
    MODEL,
    /** Plain HTTP service. */
    PLAIN
}
