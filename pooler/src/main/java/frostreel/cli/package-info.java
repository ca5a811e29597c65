/**
 * The command line: {@link frostreel.cli.Main} and one class for each command.
 *
 * <p>Owns the process: its arguments, environment, signals and exit code. Commands run on the main thread, reloads
 * on the thread of the signal, the shutdown on a shutdown hook; none of it on the event loop. Depends on
 * {@link frostreel.Pooler} and on the readers of configuration and settings.
 */
package frostreel.cli;
