package frostreel.cli;

import frostreel.Pooler;
import frostreel.config.Config;
import frostreel.config.ConfigException;
import frostreel.log.Logging;
import frostreel.settings.InvalidFileException;
import frostreel.settings.OperatorSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code serve}: runs a pooler, configured by the environment, until SIGTERM; SIGHUP reloads. */
@Command(
        name = "serve",
        description = "Runs the pooler in the foreground; GW_CONFIG names its configuration file.",
        mixinStandardHelpOptions = true)
final class Serve implements Callable<Integer> {
    /** Returned in place of an exit code: the process keeps running on the pooler's threads. */
    static final int KEEP_RUNNING = -1;
    /** The timeout for printing a line during shutdown. */
    private static final long PRINT_TIMEOUT_MS = 200;

    private static final Logger LOG = Logger.getLogger(Serve.class.getName());

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description = "The operators' settings, see deploy/frostreel.xml; SIGHUP reloads them.")
    private Path settingsFile;
    /** The configuration in force; after the start, read and replaced only by {@link #reload}. */
    private volatile Config configInForce;

    @Override
    public Integer call() throws IOException {
        try {
            Config config = Config.load(System.getenv());
            OperatorSettings operatorSettings = settingsFile == null
                    ? OperatorSettings.DEFAULT
                    : OperatorSettings.read(settingsFile, config.name());
            Logging.configure(operatorSettings.logFormat(), operatorSettings.logLevel());
            configInForce = config;
            Pooler pooler = new Pooler(config, operatorSettings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(pooler), "stop"));
            if (!SighupHandler.handle(() -> reload(pooler))) {
                LOG.warning("SIGHUP was ignored at the start and will not arrive: new settings need a restart");
            }
            return KEEP_RUNNING;
        } catch (ConfigException | InvalidFileException e) {
            System.err.println("frostreel: " + e.getMessage());
            return Main.EXIT_INVALID_INPUT;
        }
    }

    /** Runs on the signal's thread, as reading files blocks; synchronized, so that the latest read is applied last. */
    private synchronized void reload(Pooler pooler) {
        try {
            Config config = Config.reload(System.getenv(), configInForce);
            configInForce = config;
            if (settingsFile != null) {
                reloadSettings(pooler, config);
            }
            pooler.reload(config);
        } catch (ConfigException e) {
            LOG.warning(e.getMessage() + "; the configuration in force is kept");
        } catch (RejectedExecutionException loopEnded) {
            LOG.info("stopping: the new configuration is not applied");
        }
    }

    private void reloadSettings(Pooler pooler, Config config) {
        try {
            OperatorSettings operatorSettings = OperatorSettings.read(settingsFile, config.name());
            Logging.configure(operatorSettings.logFormat(), operatorSettings.logLevel());
            pooler.reload(config, operatorSettings);
            LOG.info("settings reloaded from " + settingsFile);
        } catch (InvalidFileException e) {
            LOG.warning(e.getMessage() + "; the settings in force are kept");
        }
    }

    /** Prints a line with a timeout, so that a reader that has stopped reading cannot block the shutdown. */
    private static void print(PrintStream stream, String text) throws InterruptedException {
        Thread writer = new Thread(() -> stream.println("frostreel: " + text), "shutdown output");
        writer.setDaemon(true);
        writer.start();
        writer.join(PRINT_TIMEOUT_MS);
    }

    private static void shutDown(Pooler pooler) {
        // Printed rather than logged, as the log manager shuts down at the same time.
        try {
            print(System.err, "stopping: clients are served for a little longer");
            if (!pooler.stop()) {
                print(System.err, "stopped with clients still connected");
            }
            print(System.out, pooler.counters());
            pooler.close();
            Logging.flush();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
