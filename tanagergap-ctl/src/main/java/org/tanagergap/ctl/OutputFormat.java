package org.tanagergap.ctl;

/** Output format of results. */
enum OutputFormat {
    TEXT,
    JSON
}
