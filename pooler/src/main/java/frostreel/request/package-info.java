/**
 * Interfaces between the front end, the broker and the back end of a pooler. A front end submits a request with its
 * attributes and its payload, and handles the response; a {@link frostreel.request.BackEnd} sends its attempts to
 * servers. Neither depends on the other.
 */
package frostreel.request;
