package org.tanagergap.measure.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Writes result rows as a Markdown page and as comma-separated values. */
public final class ReportWriter {

    private final Path mDirectory;

    public ReportWriter(Path directory) {
        mDirectory = directory;
    }

    /**
     * Writes {@code <name>.md} and {@code <name>.csv}.
     *
     * @param baseline name of the policy that the others are baselineRange with
     */
    public void write(
            String name, String title, List<Long> seeds, List<ResultRow> rows, String baseline)
            throws IOException {
        Files.createDirectories(mDirectory);
        Files.writeString(mDirectory.resolve(name + ".md"), markdown(title, seeds, rows, baseline));
        Files.writeString(mDirectory.resolve(name + ".csv"), csv(rows));
    }

    private static String markdown(
            String title, List<Long> seeds, List<ResultRow> rows, String baseline) {
        StringBuilder text = new StringBuilder("# " + title + "\n\n");
        text.append("Seeds: ").append(seeds).append(". Figures are the range over the seeds.\n\n");
        text.append("| fleet | measure | target | tanagergap | verdict | " + baseline + " |\n");
        text.append("|---|---|---|---|---|---|\n");
        for (ResultRow row : rows) {
            if (!row.policy().equals(baseline)) {
                String baselineRange =
                        findRow(rows, row, baseline).map(ResultRow::range).orElse("");
                text.append(
                        "| %s | %s | %s | %s | %s | %s |\n"
                                .formatted(
                                        row.fleet(),
                                        row.measure(),
                                        row.target(),
                                        row.range(),
                                        row.met() ? "met" : "MISSED",
                                        baselineRange));
            }
        }
        return text.toString();
    }

    private static Optional<ResultRow> findRow(
            List<ResultRow> rows, ResultRow reference, String policy) {
        return rows.stream()
                .filter(r -> r.policy().equals(policy))
                .filter(r -> r.fleet().equals(reference.fleet()))
                .filter(r -> r.measure().equals(reference.measure()))
                .findFirst();
    }

    private static String csv(List<ResultRow> rows) {
        StringBuilder text = new StringBuilder("fleet,policy,measure,target,met,values\n");
        for (ResultRow row : rows) {
            String values =
                    row.values().stream().map(Object::toString).collect(Collectors.joining(" "));
            text.append(
                    "%s,%s,\"%s\",\"%s\",%s,%s\n"
                            .formatted(
                                    row.fleet(),
                                    row.policy(),
                                    row.measure(),
                                    row.target(),
                                    row.met(),
                                    values));
        }
        return text.toString();
    }
}
