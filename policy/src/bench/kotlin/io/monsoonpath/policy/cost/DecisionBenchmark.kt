package io.monsoonpath.policy.cost

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Fork
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.util.concurrent.TimeUnit

/**
 * Measures time and allocation of each decision on the request path. [reference] is the loop that the bounds of `DecisionCostTest`
 * are multiples of.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
open class DecisionBenchmark {
    @Param("13 5", "7200 3300")
    lateinit var size: String

    private lateinit var fixture: DecisionFixture

    @Setup
    open fun setUp() {
        val (backends, workspaces) = size.split(' ').map { it.toInt() }
        fixture = DecisionFixture(backends, workspaces)
    }

    @Benchmark
    open fun choose(): Any = fixture.choose()

    @Benchmark
    open fun admit(): Any = fixture.admit()

    @Benchmark
    open fun enqueueAndDequeue(): Any? = fixture.enqueueAndDequeue()

    @Benchmark
    open fun reference(): Long = referenceLoop(7)
}
