package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/** Reads the body of a response as it comes. */
internal class BodyReader(
    response: HttpResponse,
) : Subscriber<HttpData> {
    private val firstChunk = CountDownLatch(1)
    private val text = StringBuilder()
    private val completeBody = CompletableFuture<String>()

    init {
        response.split().body().subscribe(this)
    }

    /** Waits for the first bytes. */
    fun awaitStart() = assertTrue(firstChunk.await(10, TimeUnit.SECONDS), "the stream did not start")

    /** Waits for the end and returns the whole body. */
    fun await(): String = completeBody.get(20, TimeUnit.SECONDS)

    override fun onSubscribe(subscription: Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(data: HttpData) {
        text.append(data.toStringUtf8())
        firstChunk.countDown()
    }

    override fun onError(cause: Throwable) {
        completeBody.completeExceptionally(cause)
    }

    override fun onComplete() {
        completeBody.complete(text.toString())
    }
}
