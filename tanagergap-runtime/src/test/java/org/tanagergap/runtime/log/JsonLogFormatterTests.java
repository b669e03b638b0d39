package org.tanagergap.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against log lines that are not valid JSON or that lose metadata. */
class JsonLogFormatterTests {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final List<LogRecord> mRecords = new ArrayList<>();
    private final Handler mHandler = new RecordingHandler();

    @BeforeEach
    void recordLogs() {
        Logger.getLogger(JsonLogFormatterTests.class.getName()).addHandler(mHandler);
    }

    @AfterEach
    void stopRecording() {
        Logger.getLogger(JsonLogFormatterTests.class.getName()).removeHandler(mHandler);
    }

    @Test
    void writesRequestAndWorkspaceAsSeparateFields() throws Exception {
        sLogger.atInfo()
                .with(LogKeys.REQUEST_ID, "r-1")
                .with(LogKeys.WORKSPACE, "lids \"a\"")
                .log("request took %d ms", 12);

        String line = new JsonLogFormatter("tanagergap-entry").format(mRecords.get(0));

        JsonNode json = new ObjectMapper().readTree(line);
        assertThat(json.path("message").asText()).isEqualTo("request took 12 ms");
        assertThat(json.path("request_id").asText()).isEqualTo("r-1");
        assertThat(json.path("workspace").asText()).isEqualTo("lids \"a\"");
        assertThat(json.path("program").asText()).isEqualTo("tanagergap-entry");
        assertThat(line.trim()).doesNotContain("\n");
    }

    private final class RecordingHandler extends Handler {

        @Override
        public void publish(LogRecord logRecord) {
            mRecords.add(logRecord);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
