package frostreel.lab.processes;

import frostreel.lab.standin.StandInDatabase;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.pg.Statement;
import frostreel.routing.Router.RequestClass;
import java.util.Map;
import java.util.SplittableRandom;

/** The work that a statement costs, drawn at random by its class, and how fresh its data must be. */
final class StatementCosts implements StandInDatabase.CostModel {
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes;

    StatementCosts(SplittableRandom random, Map<String, RequestClass> classes) {
        this.random = random;
        this.classes = classes;
    }

    @Override
    public double workUs(Statement statement) {
        for (SimulationPlan.RequestKind kind : SimulationPlan.KINDS) {
            if (kind.requestClass().name().equals(statement.requestClass())) {
                return kind.minWorkUs() + random.nextDouble() * (kind.maxWorkUs() - kind.minWorkUs());
            }
        }
        throw new IllegalArgumentException("no class " + statement.requestClass());
    }

    /** The position by the request's class and session, as a server does not know of freshness by itself. */
    @Override
    public long requiredPositionUs(Statement statement, long nowUs) {
        if (statement.write()) {
            return 0;
        }
        RequestClass requestClass = classes.get(statement.requestClass());
        return requestClass.stalenessBoundUs() > 0
                ? nowUs - requestClass.stalenessBoundUs()
                : statement.requiredPositionMs() * 1000;
    }
}
