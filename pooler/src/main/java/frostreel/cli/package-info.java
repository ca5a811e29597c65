/**
 * The command line: {@link frostreel.cli.Main} and one class for each command.
 *
 * <p>Owns the arguments, environment, signals and exit code of the process. Commands run on the main thread, reloads on
 * the signal's thread, and the shutdown in a shutdown hook; none of them on the event loop. Depends on
 * {@link frostreel.Pooler} and on the readers of configuration and settings.
 */
package frostreel.cli;
