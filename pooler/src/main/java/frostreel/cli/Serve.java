package frostreel.cli;

import frostreel.Pooler;
import frostreel.config.Config;
import frostreel.config.ConfigException;
import frostreel.log.Logging;
import frostreel.settings.FaultyFileException;
import frostreel.settings.OperatorSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The pooler, in the foreground, until SIGTERM; its configuration comes by the environment. */
@Command(
        name = "serve",
        description = "Runs the pooler in the foreground; GW_CONFIG names its configuration.",
        mixinStandardHelpOptions = true)
final class Serve implements Callable<Integer> {
    /** No exit code: the pooler's own threads go on. */
    static final int GOES_ON = -1;
    /** How long a line at the end may take to be written. */
    private static final long MOST_WRITING_MS = 200;

    private static final Logger LOG = Logger.getLogger(Serve.class.getName());

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description = "The operators' settings, as deploy/frostreel.xml; read again at SIGHUP.")
    private Path settings;
    /** By which the pooler runs; read and replaced by {@link #reload} alone, one at a time. */
    private volatile Config inForce;

    @Override
    public Integer call() throws IOException {
        try {
            Config config = Config.load(System.getenv());
            OperatorSettings operators =
                    settings == null ? OperatorSettings.DEFAULT : OperatorSettings.read(settings, config.name());
            Logging.configure(operators.logFormat(), operators.logLevel());
            inForce = config;
            Pooler pooler = new Pooler(config, operators);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(pooler), "stop"));
            if (!SighupHandler.handle(() -> reload(pooler))) {
                LOG.warning("SIGHUP was ignored at the start and will not come: settings wait for a restart");
            }
            return GOES_ON;
        } catch (ConfigException | FaultyFileException e) {
            System.err.println("frostreel: " + e.getMessage());
            return 2;
        }
    }

    /** On the signal's own thread, as reading a file may block; one at a time, so that the last file wins. */
    private synchronized void reload(Pooler pooler) {
        try {
            Config config = Config.reload(System.getenv(), inForce);
            inForce = config;
            if (settings != null) {
                reload(pooler, config);
            }
            pooler.reload(config);
        } catch (ConfigException e) {
            LOG.warning(e.getMessage() + "; the configuration in force is kept");
        } catch (RejectedExecutionException e) {
            LOG.info("stopping: the new configuration is left");
        }
    }

    private void reload(Pooler pooler, Config config) {
        try {
            OperatorSettings operators = OperatorSettings.read(settings, config.name());
            Logging.configure(operators.logFormat(), operators.logLevel());
            pooler.reload(config, operators);
            LOG.info("the settings of " + settings + " hold");
        } catch (FaultyFileException e) {
            LOG.warning(e.getMessage() + "; the settings in force are kept");
        }
    }

    /** Writes one line, and goes on where its reader does not take it: an end must not wait for that. */
    private static void say(PrintStream to, String text) throws InterruptedException {
        Thread writer = new Thread(() -> to.println("frostreel: " + text), "last words");
        writer.setDaemon(true);
        writer.start();
        writer.join(MOST_WRITING_MS);
    }

    private static void end(Pooler pooler) {
        // Not by the logger: it is shut down at the same time as this runs.
        try {
            say(System.err, "stopping: clients are served for a little longer");
            if (!pooler.stop()) {
                say(System.err, "stopped with clients still connected");
            }
            say(System.out, pooler.counters());
            pooler.close();
            Logging.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
