package frostreel.lab.cli;

import frostreel.lab.report.Tables;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.json.JSONException;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the kept results of several runs as one table. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Lays the results of runs side by side; exit code 2 where one cannot be read.")
final class Compare implements Callable<Integer> {
    private static final List<String> FIGURES =
            List.of("worth", "worstTenSeconds", "worstClass", "attempts", "fallen", "coldMultiple", "broken");

    @Parameters(arity = "1..*", paramLabel = "DIR", description = "Folders that run --out made.")
    private List<Path> folders;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        List<String> columns = new ArrayList<>(List.of("run", "policy"));
        columns.addAll(FIGURES);
        List<List<String>> rows = new ArrayList<>();
        for (Path folder : folders) {
            try {
                JSONObject result = new JSONObject(Files.readString(folder.resolve("result.json")));
                for (Object entry : result.getJSONArray("policies")) {
                    JSONObject policy = (JSONObject) entry;
                    List<String> row = new ArrayList<>(List.of(folder.toString(), policy.getString("policy")));
                    FIGURES.forEach(figure -> row.add(String.format(Locale.ROOT, "%.3f", policy.getDouble(figure))));
                    rows.add(row);
                }
            } catch (IOException | JSONException e) {
                spec.commandLine().getErr().println(folder + ": no result of a run: " + e.getMessage());
                return ExitCodes.FAULTY_INPUT;
            }
        }
        spec.commandLine().getOut().print(Tables.markdown(columns, rows));
        spec.commandLine().getOut().flush();
        return ExitCodes.PASSED;
    }
}
