/**
 * Stand-ins on sockets for what the program speaks to: the model's servers behind PostgreSQL's protocol, and
 * the discovery agent.
 */
package frostreel.lab.standin;
