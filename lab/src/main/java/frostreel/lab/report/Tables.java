package frostreel.lab.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Tables of results, in Markdown to be read and in CSV to be processed. */
public final class Tables {
    private Tables() {}

    /** A table in Markdown; each row has a cell for each column. */
    public static String markdown(List<String> columns, List<List<String>> rows) {
        StringBuilder out = new StringBuilder("| " + String.join(" | ", columns) + " |\n|");
        columns.forEach(column -> out.append(" --- |"));
        out.append('\n');
        rows.forEach(row -> out.append("| ").append(String.join(" | ", row)).append(" |\n"));
        return out.toString();
    }

    /** A table in CSV by RFC 4180, with lines that end in a line feed. */
    public static String csv(List<String> columns, List<List<String>> rows) {
        StringBuilder out = new StringBuilder();
        CSVFormat format = CSVFormat.RFC4180.builder().setRecordSeparator('\n').get();
        try (CSVPrinter printer = new CSVPrinter(out, format)) {
            printer.printRecord(columns);
            printer.printRecords(rows);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Appending to a string builder does not fail.
        }
        return out.toString();
    }
}
