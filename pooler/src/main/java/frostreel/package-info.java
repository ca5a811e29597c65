/**
 * The pooler as one process: {@link frostreel.Pooler} connects the parts, and the other classes are its start
 * ({@code Readiness}, {@code ServingSockets}, {@code EndpointSource}), its configuration reload and its
 * graceful shutdown.
 */
package frostreel;
