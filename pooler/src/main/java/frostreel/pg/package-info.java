/**
 * Version 3 of the PostgreSQL protocol, as far as it is served here: parsers and writers of its messages, without
 * sockets.
 */
package frostreel.pg;
