/**
 * The supported part of version 3 of the PostgreSQL protocol, without I/O. {@link frostreel.pg.MessageReader} splits
 * bytes into messages, {@link frostreel.pg.Statement} parses clients' statements, {@link frostreel.pg.ServerResponse}
 * parses servers' responses, and {@link frostreel.pg.Messages} encodes the messages that the pooler itself sends.
 */
package frostreel.pg;
