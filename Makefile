.PHONY: build test lint run

build:
	mvn -B -q -DskipTests package

test:
	mvn -B verify

# The compiler's own lint, with every warning an error.
lint:
	mvn -B -q -Dmaven.compiler.failOnWarning=true clean compile

# A relay on the example's configuration; start the toy servers first: java examples/Toy.java
run: build
	PROXY_CONFIG=examples/relay.json java -jar target/gatelock.jar serve
