/** The command line: {@link frostreel.cli.Main} and one class for each command. */
package frostreel.cli;
