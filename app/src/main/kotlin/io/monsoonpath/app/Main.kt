package io.monsoonpath.app

import com.linecorp.armeria.server.Server

/** Starts the program. */
fun main() {
    println(Server.builder().build())
}
