package org.tanagergap.ctl;

/** Form in which results are printed. */
enum OutputFormat {
    TEXT,
    JSON
}
