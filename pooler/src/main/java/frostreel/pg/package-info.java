/**
 * The part of version 3 of the PostgreSQL protocol that is served here, without sockets. {@link
 * frostreel.pg.MessageReader} splits bytes into messages, {@link frostreel.pg.Statement} parses what clients send,
 * {@link frostreel.pg.ServerResponse} what servers send, and {@link frostreel.pg.Messages} makes the messages that the pooler
 * sends.
 */
package frostreel.pg;
