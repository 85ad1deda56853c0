Feature: The checks of the soak of repeated responses find each kind of fault, in made records

  Scenario Outline: <what> is found by the check "<check>"
    Given the record of a soak with repeats in which <what>
    Then of the checks for repeats only "<check>" finds it

    Examples: faults
      | what                                                           | check           |
      | a request that can be repeated ran and was refused             | refused and ran |
      | a request ran after it was refused                             | refused and ran |
      | a request got the head of the response to another one          | foreign         |
      | a request got the body of the response to another one          | foreign         |
      | a request got a response without a stamp                       | foreign         |
      | a request got the error of another one                         | foreign         |
      | a request is answered 502 beside sound servers                 | lost            |
      | a request is answered 502 while another server has failed      | lost            |
      | a request that ran nowhere is answered 502 beside sound servers | lost           |
      | an order that was accepted counts as one already carried out   | misread order   |
      | an order that was carried out counts as rejected               | misread order   |
      | an order that no server has got counts as accepted             | misread order   |
      | an order that is sent again counts as carried out twice        | misread order   |
      | an order that is sent again counts as rejected twice           | misread order   |
      | an order overcommitted a server                                | overcommitted   |

  Scenario Outline: nothing is found when <what>
    Given the record of a soak with repeats in which <what>
    Then no check for repeats finds anything

    Examples: what is allowed
      | what                                                           |
      | a request got its own response                                 |
      | a resumed stream has the head of the response that it continues |
      | a request is answered 502 as its server fails                  |
      | a request is answered 502 as its server pauses                 |
      | a request is answered 502 at the end of the grace period       |
      | an order has the answer that its server gave                   |
      | an order that no server has got counts as rejected             |
      | an order is carried out after it could not be delivered        |
      | an order has no answer                                         |
