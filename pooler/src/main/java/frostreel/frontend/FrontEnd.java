package frostreel.frontend;

import frostreel.broker.Broker;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;

/** What the connections of all clients share. */
record FrontEnd(
        EventLoop loop,
        Broker broker,
        ServingLifecycle lifecycle,
        RequestClassRegistry classes,
        StatusPages pages,
        ClientTable clients,
        ClientLimits limits,
        ClientDrainer drainer) {}
