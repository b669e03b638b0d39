package org.tanagergap.runtime.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Properties;
import java.util.TreeMap;
import java.util.function.Function;
import org.tanagergap.api.finding.Findings;

/**
 * Reads settings and collects all findings. Flags take precedence over environment variables, these
 * over the settings file, and the file over defaults. The environment variable of {@code
 * --admin-listen} is {@code TANAGERGAP_ADMIN_LISTEN}; its name in the file is {@code admin-listen}.
 */
public final class SettingsReader {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final String VARIABLE_PREFIX = "TANAGERGAP_";

    private final Map<String, String> mEnvironment;
    private final Map<String, String> mFile = new HashMap<>();
    private final Findings mFindings = new Findings();
    private final Map<String, EffectiveSetting> mEffective = new TreeMap<>();

    public SettingsReader(Map<String, String> environment) {
        mEnvironment =
                Map.copyOf(Objects.requireNonNull(environment, "environment must not be null"));
    }

    /**
     * Loads a settings file with one {@code name=value} per line; adds a finding if it cannot be
     * read.
     */
    public void file(String flag, Path path) {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(path)) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException e) {
            reject(flag, "the file " + path + " cannot be read: " + e);
        }
        properties.forEach((name, value) -> mFile.put(name.toString(), value.toString().trim()));
    }

    /** Reads a text; adds a finding if the setting is neither given nor has a default. */
    public String text(String flag, String flagValue, String defaultValue) {
        return read(flag, flagValue, defaultValue, Optional::of, "a text");
    }

    /** Reads a text; empty if the setting is not given or blank. */
    public Optional<String> optionalText(String flag, String flagValue) {
        Optional<EffectiveSetting> setting =
                given(flag, flagValue, SettingSource.FLAG)
                        .or(
                                () ->
                                        given(
                                                flag,
                                                mEnvironment.get(variable(flag)),
                                                SettingSource.VARIABLE))
                        .or(() -> given(flag, mFile.get(name(flag)), SettingSource.FILE))
                        .filter(s -> !s.value().isBlank());
        mEffective.put(flag, setting.orElseGet(() -> EffectiveSetting.absent(flag)));
        return setting.map(EffectiveSetting::value);
    }

    private static Optional<EffectiveSetting> given(
            String flag, String value, SettingSource source) {
        return Optional.ofNullable(value).map(v -> new EffectiveSetting(flag, v, source));
    }

    /** Returns the settings read so far, sorted by flag. */
    public List<EffectiveSetting> effective() {
        return List.copyOf(mEffective.values());
    }

    /** Reads an address in the form {@code host:port}. */
    public HostPort address(String flag, String flagValue, String defaultValue) {
        return read(flag, flagValue, defaultValue, HostPort::parse, "host:port");
    }

    /** Reads a comma-separated list of addresses; empty if the setting is not given. */
    public List<HostPort> addresses(String flag, String flagValue) {
        return optionalText(flag, flagValue).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(String::trim)
                .flatMap(item -> parseItem(flag, item).stream())
                .toList();
    }

    /** Reads a whole number within bounds. */
    public long number(String flag, String flagValue, String defaultValue, long min, long max) {
        Long number =
                read(
                        flag,
                        flagValue,
                        defaultValue,
                        value -> parseNumber(value).filter(n -> n >= min && n <= max),
                        "a whole number from " + min + " to " + max);
        return number == null ? min : number;
    }

    /** Reads a decimal number within bounds. */
    public double decimal(
            String flag, String flagValue, String defaultValue, double min, double max) {
        Double number =
                read(
                        flag,
                        flagValue,
                        defaultValue,
                        value -> parseDecimal(value).filter(n -> n >= min && n <= max),
                        "a number from " + min + " to " + max);
        return number == null ? min : number;
    }

    /** Reads a duration in milliseconds, which may have a fraction, within bounds. */
    public Duration millis(
            String flag, String flagValue, String defaultValue, long minMillis, long maxMillis) {
        return duration(
                flag,
                flagValue,
                defaultValue,
                minMillis,
                maxMillis,
                "milliseconds",
                NANOS_PER_MILLI);
    }

    /** Reads a duration in seconds, which may have a fraction, within bounds. */
    public Duration seconds(
            String flag, String flagValue, String defaultValue, long minSeconds, long maxSeconds) {
        return duration(
                flag, flagValue, defaultValue, minSeconds, maxSeconds, "seconds", NANOS_PER_SECOND);
    }

    private Duration duration(
            String flag,
            String flagValue,
            String defaultValue,
            long min,
            long max,
            String unit,
            long nanosPerUnit) {
        Double value =
                read(
                        flag,
                        flagValue,
                        defaultValue,
                        text -> parseDecimal(text).filter(n -> n >= min && n <= max),
                        unit + " from " + min + " to " + max);
        return Duration.ofNanos((long) ((value == null ? min : value) * nanosPerUnit));
    }

    /** Reads a constant of an enumeration, written in lower case with hyphens. */
    public <E extends Enum<E>> E choice(
            String flag, String flagValue, String defaultValue, Class<E> type) {
        List<String> names =
                Arrays.stream(type.getEnumConstants()).map(SettingsReader::choiceName).toList();
        return read(
                flag,
                flagValue,
                defaultValue,
                value ->
                        Arrays.stream(type.getEnumConstants())
                                .filter(constant -> choiceName(constant).equals(value))
                                .findFirst(),
                "one of " + String.join(", ", names));
    }

    /** Adds a finding about a setting. */
    public void reject(String flag, String message) {
        mFindings.add(location(flag), message);
    }

    /** Returns the findings collected so far. */
    public Findings findings() {
        return mFindings;
    }

    private <T> T read(
            String flag,
            String flagValue,
            String defaultValue,
            Function<String, Optional<T>> parser,
            String expected) {
        Optional<String> value =
                optionalText(flag, flagValue).or(() -> useDefault(flag, defaultValue));
        if (value.isEmpty()) {
            reject(flag, "is required; expected " + expected);
            return null;
        }
        Optional<T> parsed = parser.apply(value.get());
        if (parsed.isEmpty()) {
            reject(flag, "\"" + value.get() + "\" is not valid; expected " + expected);
        }
        return parsed.orElse(null);
    }

    private Optional<String> useDefault(String flag, String defaultValue) {
        given(flag, defaultValue, SettingSource.DEFAULT)
                .ifPresent(setting -> mEffective.put(flag, setting));
        return Optional.ofNullable(defaultValue);
    }

    private Optional<HostPort> parseItem(String flag, String item) {
        Optional<HostPort> address = HostPort.parse(item);
        if (address.isEmpty()) {
            reject(flag, "\"" + item + "\" is not valid; expected host:port");
        }
        return address;
    }

    private static Optional<Long> parseNumber(String value) {
        try {
            return Optional.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDecimal(String value) {
        try {
            return Optional.of(Double.parseDouble(value));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String choiceName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String location(String flag) {
        return flag + " (" + variable(flag) + ")";
    }

    private static String variable(String flag) {
        return VARIABLE_PREFIX + name(flag).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static String name(String flag) {
        return flag.replaceFirst("^-+", "");
    }
}
