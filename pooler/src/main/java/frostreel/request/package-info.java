/**
 * The interfaces between the sides of a pooler: a front end submits a request with its attributes and its payload, and
 * handles the response; a {@link frostreel.request.BackEnd} carries its attempts to servers. Neither side depends on
 * the other, nor on the broker between them.
 */
package frostreel.request;
