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

/** The time and allocation of each decision on the path of a request. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
open class DecisionBenchmark {
    @Param("13 5", "7200 3300")
    lateinit var size: String

    private lateinit var loads: DecisionLoads

    @Setup
    open fun setUp() {
        val (backends, workspaces) = size.split(' ').map { it.toInt() }
        loads = DecisionLoads(backends, workspaces)
    }

    @Benchmark
    open fun choose(): Any = loads.choose()

    @Benchmark
    open fun admit(): Any = loads.admit()

    @Benchmark
    open fun enqueueAndDequeue(): Any? = loads.enqueueAndDequeue()

    @Benchmark
    open fun reference(): Long = referenceLoop(7)
}
