/** The lab's command line: a class for each command, and what the commands share. */
package frostreel.lab.cli;
