package org.tanagergap.runtime.log;

import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import io.vertx.core.json.JsonObject;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line of JSON, with Flogger metadata as fields. */
public final class JsonLogFormatter extends Formatter {

    private final String mProgram;

    public JsonLogFormatter(String program) {
        mProgram = program;
    }

    @Override
    public String format(LogRecord logRecord) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", logRecord.getInstant().toString());
        fields.put("level", logRecord.getLevel().getName());
        fields.put("program", mProgram);
        fields.put("logger", logRecord.getLoggerName());
        if (logRecord instanceof AbstractLogRecord floggerRecord) {
            addFloggerFields(floggerRecord.getLogData(), fields);
        } else {
            fields.put("message", formatMessage(logRecord));
        }
        if (logRecord.getThrown() != null) {
            fields.put("cause", stackTrace(logRecord.getThrown()));
        }
        return new JsonObject(fields).encode() + System.lineSeparator();
    }

    private static void addFloggerFields(LogData data, Map<String, Object> fields) {
        fields.put(
                "message",
                BaseMessageFormatter.appendFormattedMessage(data, new StringBuilder()).toString());
        Metadata metadata = data.getMetadata();
        for (int i = 0; i < metadata.size(); i++) {
            String label = metadata.getKey(i).getLabel();
            if (!label.equals("cause")) {
                fields.put(label, jsonValue(metadata.getValue(i)));
            }
        }
    }

    private static Object jsonValue(Object value) {
        if (value instanceof LogItems list) {
            return list.items();
        }
        return value instanceof Number ? value : value.toString();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
